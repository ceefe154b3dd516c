use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_wait_of_connections_that_could_not_be_accepted_is_counted() {
    let delay = AcceptDelay::new(3);
    assert_eq!(delay.handle_accepted(), ms(0));
    delay.handle_blocked(ms(200));
    delay.handle_blocked(ms(50));
    assert_eq!(delay.handle_accepted(), ms(250));
    delay.handle_empty_queue();
    assert_eq!(delay.handle_accepted(), ms(0), "it came after the queue was empty");
    // At most as many connections as the queue holds (3) can have waited, although the queue was never seen empty.
    delay.handle_blocked(ms(100));
    let waits: Vec<Duration> = (0..5).map(|_| delay.handle_accepted()).collect();
    assert_eq!(waits, [ms(100), ms(100), ms(100), ms(0), ms(0)]);
}

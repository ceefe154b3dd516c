//! Prints the digests that `tests/decision_equality.rs` compares with, one line per seed.

#[allow(dead_code)]
#[path = "../tests/histories/mod.rs"]
mod histories;

fn main() {
    for seed in 0..histories::SEEDS {
        println!("{:016x}", histories::run_history(seed).digest);
    }
}

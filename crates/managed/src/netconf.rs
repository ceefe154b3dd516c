use crate::hub::Hub;
use crate::users::Users;
use std::net::TcpListener;
use std::sync::Arc;
pub fn host_key(_: Option<&str>) -> Result<(), String> {
    Ok(())
}
pub async fn serve(_: Arc<Hub>, _: TcpListener, _: (), _: Users, _: usize) -> Result<(), String> {
    Ok(())
}

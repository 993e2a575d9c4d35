//! Clients of the platform's services.

pub mod machine_list;
pub mod object_api;

//! Errors that end a connection between nodes.

use quick_error::quick_error;

quick_error! {
    /// Failure of a connection between nodes.
    #[derive(Debug)]
    pub enum ProtocolError {
        /// The socket failed.
        Io(error: std::io::Error) {
            from()
            display("The connection failed: {error}. Check that the peer runs and is reachable.")
        }
        /// A frame is longer than the limit.
        Oversized(length: usize) {
            display("A frame of {length} bytes exceeds the limit. Check that the peer is firshore.")
        }
        /// A frame is not valid CBOR of the expected type.
        Malformed(reason: String) {
            display("A frame is malformed: {reason}. Check that both nodes run compatible versions.")
        }
        /// The peer uses another protocol version.
        Version(theirs: u32) {
            display("The peer speaks protocol version {theirs}. Upgrade the older node.")
        }
        /// The peer did not prove that it has the cluster secret.
        Secret {
            display("The peer did not prove the cluster secret. Give both nodes the same secret file.")
        }
    }
}

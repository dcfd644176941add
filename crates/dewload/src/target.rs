//! Server addresses given in command-line flags.

use std::net::SocketAddr;
use std::str::FromStr;

const DEFAULT_WEIGHT: u32 = 1;

/// A daemon that receives a share of the requests: `IP:PORT` or
/// `IP:PORT=WEIGHT`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WeightedTarget {
    pub(crate) address: SocketAddr,
    pub(crate) weight: u32,
}

impl FromStr for WeightedTarget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (address, weight) = match text.split_once('=') {
            None => (text, Ok(DEFAULT_WEIGHT)),
            Some((address, weight)) => (address, weight.parse()),
        };
        let address = parse_address(address)?;
        match weight {
            Ok(weight) if weight > 0 => Ok(Self { address, weight }),
            _ => Err("the weight is not a whole number above 0".to_owned()),
        }
    }
}

/// A server that faults refer to by name: `NAME=IP:PORT`, or `IP:PORT` to use the
/// address as the name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct NamedServer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

impl FromStr for NamedServer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, address) = text.split_once('=').unwrap_or((text, text));
        Ok(Self {
            name: name.to_owned(),
            address: parse_address(address)?,
        })
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{text} is not an address IP:PORT"))
}

//! What arrives at the platform's API, and who believes to be the holder.

use std::collections::BTreeMap;

use crate::case::MS;
use crate::store::TrueTime;

/// Time within which holders may not alternate.
const LEASE_TIME: TrueTime = 3_000 * MS;

/// A process on a VM: the VM's index and the start of the process.
pub type ProcessId = (usize, u64);

#[derive(Debug)]
struct ApiCall {
    at: TrueTime,
    process: ProcessId,
    token: u64,
}

/// Calls and beliefs about one subject.
#[derive(Debug, Default)]
pub struct SubjectRecord {
    calls: Vec<ApiCall>,
    /// Until when each VM believes in its lease, in true time.
    claims: BTreeMap<usize, TrueTime>,
}

impl SubjectRecord {
    /// Notes until when a VM believes in its lease.
    pub fn claim(
        &mut self,
        vm: usize,
        until: Option<TrueTime>,
        now: TrueTime,
    ) -> Result<(), String> {
        let Some(until) = until else {
            self.claims.remove(&vm);
            return Ok(());
        };
        self.claims.insert(vm, until);
        self.claims.retain(|_, until| *until > now);
        match self.claims.len() {
            0 | 1 => Ok(()),
            _ => Err(format!("two holders at {now}: {:?}", self.claims)),
        }
    }

    pub fn holder(&self, now: TrueTime) -> Option<usize> {
        let mut valid = self.claims.iter().filter(|(_, until)| **until > now);
        valid.next().map(|(vm, _)| *vm)
    }

    /// Notes a call that arrives.
    pub fn arrive(&mut self, process: ProcessId, token: u64, at: TrueTime) -> Result<(), String> {
        let call = ApiCall { at, process, token };
        if let Some(last) = self.calls.last() {
            if token < last.token {
                return Err(format!("token fell: {call:?} after {last:?}"));
            }
            if token == last.token && process != last.process {
                return Err(format!("token repeated: {call:?} after {last:?}"));
            }
        }
        let earlier = self.calls.iter().rev();
        let mut others = earlier.skip_while(|call| call.process.0 == process.0);
        let before = others.find(|call| call.process.0 == process.0);
        let alternated = before.filter(|before| at - before.at < LEASE_TIME);
        if let Some(before) = alternated {
            return Err(format!("holders alternated: {call:?} after {before:?}"));
        }
        self.calls.push(call);
        Ok(())
    }
}

//! Small stand-ins for the systems that dewspring meets.

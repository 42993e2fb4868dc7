//! Membership, ownership by rendezvous hashing and calls between entry instances.

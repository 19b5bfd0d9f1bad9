//! The fake key-value service for tests in virtual time.

pub(crate) use laburnumstall_testkit::FakeStore;

//! The key-value service that all tests in virtual time share.

pub(crate) use laburnumstall_testkit::FakeStore;

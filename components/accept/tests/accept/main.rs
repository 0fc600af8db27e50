//! Tests of the apply and settle machines against a fake store.

mod apply;
mod concurrent;
mod settle;
mod support;

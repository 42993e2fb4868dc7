//! Clients of model engines, store instances and plain services, with connection health.

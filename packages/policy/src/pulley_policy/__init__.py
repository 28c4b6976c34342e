"""Pure decision logic: placement, admission, queueing, retries and claims."""

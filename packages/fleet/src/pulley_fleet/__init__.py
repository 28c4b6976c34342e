"""What routers and agents share: membership, rules, admin address, counters."""

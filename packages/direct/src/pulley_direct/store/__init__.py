"""The store: its interface, its words applied to beliefs, and the router's writes."""

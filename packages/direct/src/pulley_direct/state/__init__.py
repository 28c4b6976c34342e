"""State of one router, the types of its parts, and the signals of its changes."""

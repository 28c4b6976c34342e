"""Stand-ins for the review's cases: deployment, consumers, engines and platform."""

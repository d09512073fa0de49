"""Who is there: targets, entry hosts and what they know."""

"""Orders that bring targets to the state of the documents."""

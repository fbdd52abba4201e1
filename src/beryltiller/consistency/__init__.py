"""Session consistency: which database may serve a statement."""

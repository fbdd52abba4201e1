"""Session consistency: the choice of the database that serves a statement."""

"""The command line of operators and developers."""

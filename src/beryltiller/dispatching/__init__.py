"""Run statements and transactions of the HTTP interface at databases or at peers."""

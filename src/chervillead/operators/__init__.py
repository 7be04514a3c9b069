"""Commands, reports and status documents for operators."""

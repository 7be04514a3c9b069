"""What operators see and publish."""

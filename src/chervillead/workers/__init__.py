"""The workers that run tasks: what is known of them, looks and orders."""

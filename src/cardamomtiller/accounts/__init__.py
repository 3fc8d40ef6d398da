"""What each client account may use, divided among the instances."""

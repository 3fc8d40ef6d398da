"""The link of the instance: its rate, its queue, and the transfers that share it."""

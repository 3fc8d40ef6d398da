"""Decision for each packet, from the published state and the observed load."""

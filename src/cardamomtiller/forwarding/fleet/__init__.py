"""Other instances: membership by announcements, and exchange of load reports."""

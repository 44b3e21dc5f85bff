"""Managers of one fleet: failure detection, takeover of sessions and load reports. Only managers are members."""

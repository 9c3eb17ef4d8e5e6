"""An entry process on the platform: callers' interface, watches and leadership."""

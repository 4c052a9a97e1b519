"""Single requests: routes, profiles, claims, quarantine and budget of attempts."""

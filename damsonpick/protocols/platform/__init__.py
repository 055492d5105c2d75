"""The platform's protocol: one more way in and out of the loop round the module."""

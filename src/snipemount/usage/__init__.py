"""Usage of organisations: requests counted per window, merged and reported once.

Each daemon counts what its callers sent, the daemons that follow the store collect the
counts of their followers, and the holder of a duty reports each window.
"""

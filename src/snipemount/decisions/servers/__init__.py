"""Backend servers: placement, and the queue, slots and connections of an owned one."""

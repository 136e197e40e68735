"""A whole fleet without sockets: routers' decisions, engines, traffic, a virtual clock."""

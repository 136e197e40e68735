"""Routes requests whose rules, upstreams and members come from a registry."""

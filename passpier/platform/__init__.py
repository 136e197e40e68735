"""Platform adapter: the only package that knows the platform's paths, headers, keys and fields."""

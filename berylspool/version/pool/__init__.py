"""Pool of upstreams for one service version: decisions and task."""

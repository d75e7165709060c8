"""What routers and controllers share: their wire protocol, connections, settings, log and configuration documents."""

"""Stand-ins for the systems that hillstack meets: engines, applications and the platform."""

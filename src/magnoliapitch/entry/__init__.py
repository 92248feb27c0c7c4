"""The two kinds of entry instances.

``node`` has the instance that shares its state through the platform's log,
``job_node`` the one that keeps its jobs in a shared store. The package
imports neither, so that each kind loads only the modules that it needs.
"""

"""The two kinds of entry instances.

``node`` has the instance of a single deployment with its own log,
``job_node`` the one of a platform with a shared store. The package imports
neither, so that each kind loads only the modules that it needs.
"""

"""Names of the objects in the store."""

TABLE_PREFIX = "tables/"
ROUTES_TABLE = TABLE_PREFIX + "routes"
POOLS_TABLE = TABLE_PREFIX + "pools"
ACCEPTED_CONFIGURATION = "config/accepted"
TABLE_STATUS = "status/tables"

package platform

// Paths of the platform's HTTP interface.
const (
	PathTxn     = "/table/txn"
	PathGet     = "/table/get"
	PathScan    = "/table/scan"
	PathObjects = "/objects/" // followed by the escaped object name
	PathHosts   = "/hosts"
)

// HeaderNoEffect is "true" on a 503 response if the request had no effect. After a 503 without it, for example from a proxy, the request may have
// taken effect.
const HeaderNoEffect = "Samphire-No-Effect"

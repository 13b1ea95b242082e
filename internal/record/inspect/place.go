package inspect

// Section is a list or group of settings of a configuration.
type Section string

const (
	// SectionConfig contains the settings of the configuration itself.
	SectionConfig Section = "config"
	// SectionRoutes contains the routes.
	SectionRoutes Section = "route"
	// SectionServices contains the services.
	SectionServices Section = "service"
	// SectionLimits contains the limits.
	SectionLimits Section = "limits"
	// SectionWorkspaces contains the workspaces.
	SectionWorkspaces Section = "workspace"
)

// Field is a setting within a section. An empty Field refers to the whole element.
type Field string

// Fields of a configuration, and the name, which all elements have.
const (
	FieldVersion Field = "version"
	FieldName    Field = "name"
)

// Fields of routes.
const (
	FieldHost         Field = "host"
	FieldPrefix       Field = "prefix"
	FieldMode         Field = "mode" // FieldMode is the retry policy, and whether responses are streams.
	FieldTimeout      Field = "timeout"
	FieldObjective    Field = "objective"
	FieldGapObjective Field = "gap objective"
	FieldPatience     Field = "patience"
	FieldRank         Field = "rank" // FieldRank exists in workspaces, too.
	FieldMaxAttempts  Field = "attempts"
	FieldAffinity     Field = "affinity"
	FieldPublic       Field = "public"
	FieldShares       Field = "shares"
	FieldWeight       Field = "weight" // FieldWeight is the weight of one of the shares.
)

// Fields of services.
const (
	FieldHealthPath     Field = "health path"
	FieldMaxConnections Field = "connections"
	FieldEngine         Field = "engine"
	FieldSlots          Field = "slots"
	FieldCacheCapacity  Field = "cache capacity"
	FieldTokenBytes     Field = "token bytes"
	FieldLink           Field = "link"
	FieldHandleTTL      Field = "handle TTL"
	FieldSwitchTime     Field = "switch time"
	FieldScaling        Field = "scaling"
	FieldMin            Field = "minimum"
	FieldMax            Field = "maximum"
	FieldBoot           Field = "boot time"
	FieldSpotPrice      Field = "spot price"
	FieldZonePrices     Field = "zone prices"
	FieldZonePrice      Field = "zone price" // FieldZonePrice is the price of the zone in Place.Detail.
)

// Fields of limits.
const (
	FieldMaxHeaderBytes Field = "header bytes"
	FieldMaxBodyBytes   Field = "body bytes"
	FieldHeaderTimeout  Field = "header timeout"
	FieldIdleTimeout    Field = "idle timeout"
)

// Fields of workspaces.
const (
	FieldKeys Field = "keys"
	FieldKey  Field = "key" // FieldKey is one of the keys.
)

// Place is the location of a setting.
type Place struct {
	Section Section
	// Index is the position of the element in a section that is a list.
	Index int
	Field Field
	// Item is the position in a field that is a list: FieldWeight and FieldKey.
	Item int
	// Detail is the zone of FieldZonePrice.
	Detail string
}

package service

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"example.org/bellstream/balance"
	"example.org/bellstream/internal/cluster/gossip"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/cluster/usage"
	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// gossipSubsystem is the instance's membership in its cluster.
type gossipSubsystem struct{ *gossip.Node }

// Reload rotates the encryption keys; changes of all other settings need a restart.
func (s gossipSubsystem) Reload(file *operatorconfig.File) error {
	if file.Gossip == nil || file.Gossip.KeyFile == "" {
		return s.RotateKeys(nil)
	}
	keys, err := operatorconfig.Keys(file.Gossip.KeyFile)
	if err != nil {
		return err
	}
	return s.RotateKeys(keys)
}

// Tenants returns the tenants in the settings. The instances of a cluster share the tenants' reservations.
func Tenants(s *settings.Settings) []quota.Tenant {
	var tenants []quota.Tenant
	for _, t := range s.Config().Tenants {
		tenants = append(tenants, quota.Tenant{
			Name:  t.Name,
			ID:    usage.TenantID(t.Name, t.Quota, t.Weight),
			Quota: t.Quota,
		})
	}
	return tenants
}

// newGossipNode joins the cluster that the file names.
func newGossipNode(
	file *operatorconfig.File,
	conf *settings.Instance,
	log zerolog.Logger,
	onQuotaUpdate func([]balance.QuotaUpdate),
) (*gossip.Node, error) {
	tenants := Tenants(conf.Settings)
	quotaSettings, bounds, err := file.FitQuota(max(conf.Settings.Dispatchers, 1), tenants)
	if err != nil {
		return nil, err
	}
	options, err := gossipOptions(file)
	if err != nil {
		return nil, err
	}
	if options.Name == "" {
		options.Name = conf.Name
	}
	options.Settings = quotaSettings
	options.Tenants = tenants
	options.Log = log
	options.OnQuotaUpdate = onQuotaUpdate
	node, err := gossip.New(options)
	if err != nil {
		return nil, err
	}
	log.Info().
		Str("cluster", options.Cluster).
		Str("name", options.Name).
		Int("instances", quotaSettings.ExpectedInstances).
		Float64("news_s", bounds.UsageDelay).
		Float64("share_error", bounds.ShareError).
		Float64("move_s", bounds.ShiftDelay).
		Float64("loans_end_s", bounds.LoanExpiry).
		Int("homes", bounds.Owners).
		Float64("slices_error", bounds.AllotmentError).
		Float64("news_near_s", bounds.RegionalUsageDelay).
		Msgf("peers listens on %s with these error bounds", node.Addr())
	return node, nil
}

func gossipOptions(file *operatorconfig.File) (gossip.Options, error) {
	block := file.Gossip
	options := gossip.Options{
		Name:            block.Name,
		Listen:          block.Listen,
		Advertise:       block.Advertise,
		Join:            block.Join,
		Cluster:         block.Cluster,
		ExchangeEnabled: file.Usage == nil || file.Usage.Exchange == nil || *file.Usage.Exchange,
		Incarnation:     incarnation(time.Now(), rand.Uint64()),
		Now:             time.Now,
	}
	if block.KeyFile == "" {
		return options, nil
	}
	keys, err := operatorconfig.Keys(block.KeyFile)
	options.Keys = keys
	return options, err
}

// incarnationRandomBits is the number of low bits that distinguish starts within one millisecond.
const incarnationRandomBits = 20

// incarnation returns a number that is unique to a start and increases from one start to the next: Unix time in
// milliseconds in the high bits, random bits below. It is only compared with earlier starts under the same name.
func incarnation(now time.Time, random uint64) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | random&(1<<incarnationRandomBits-1)
}

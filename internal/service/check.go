package service

import (
	"fmt"
	"io"

	"example.org/bellstream/internal/operatorconfig"
	"example.org/bellstream/internal/settings"
)

// Check validates an operator's file and prints its warnings and the bounds that it guarantees. If configPath is not
// empty, it also validates the file against that configuration of the platform.
func Check(out io.Writer, operatorPath, configPath string) error {
	file, err := operatorconfig.Load(operatorPath)
	if err != nil {
		return err
	}
	for _, warning := range file.Warnings() {
		fmt.Fprintf(out, "warning: %s\n", warning)
	}
	if configPath != "" {
		if err := checkAgainstConfig(out, file, configPath); err != nil {
			return err
		}
	}
	if file.Config != nil && file.Lease == nil {
		fmt.Fprintf(out, "%s: warning: the rules block is not proposed, as there is no accord block\n", operatorPath)
	}
	if file.Lease != nil {
		leaseSettings, err := file.LeaseSettings()
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "accord: %s\n", leaseSettings.Bounds())
	}
	fmt.Fprintf(out, "%s: in order\n", operatorPath)
	return nil
}

func checkAgainstConfig(out io.Writer, file *operatorconfig.File, configPath string) error {
	conf, err := settings.Load(configPath)
	if err != nil {
		return err
	}
	for _, warning := range operatorconfig.Warnings(conf.Settings) {
		fmt.Fprintf(out, "%s: warning: %s\n", configPath, warning)
	}
	effective := conf.Settings
	if proposal := file.Proposal(); proposal != nil {
		effective, err = proposal.ApplyTo(conf.Settings)
		if err != nil {
			return err
		}
	}
	if _, err := file.MaxWaits(effective.Classes); err != nil {
		return err
	}
	if file.Gossip == nil {
		return nil
	}
	return printQuotaBounds(out, file, effective)
}

func printQuotaBounds(out io.Writer, file *operatorconfig.File, effective *settings.Settings) error {
	quotaSettings, bounds, err := file.FitQuota(max(effective.Dispatchers, 1), Tenants(effective))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "counts: %d instances expected, news within %.2f s, a tenant's share within %.1f%% in 10 s, "+
		"moves within %.1f s, loans end within %.1f s\n",
		quotaSettings.ExpectedInstances,
		bounds.UsageDelay,
		bounds.ShareError*100,
		bounds.ShiftDelay,
		bounds.LoanExpiry)
	fmt.Fprintf(out, "counts: %d homes of each reservation, slices pass it by %g, news in a region within %.2f s, "+
		"moves with instances or a region gone within %.1f s of what is left, %.0f%% with a home gone",
		bounds.Owners,
		bounds.AllotmentError,
		bounds.RegionalUsageDelay,
		bounds.FailoverDelay,
		bounds.RemainingFraction*100)
	if bounds.RemainingWithoutRegion > 0 {
		fmt.Fprintf(out, ", %.0f%% with a region gone", bounds.RemainingWithoutRegion*100)
	}
	fmt.Fprintf(out, " until these are forgotten; with all homes gone nothing is lent after %.1f s\n",
		bounds.LoanExpiry)
	return nil
}

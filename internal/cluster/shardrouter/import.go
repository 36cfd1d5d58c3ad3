package shardrouter

import "example.org/bellstream/internal/cluster/shard"

// advanceImport advances a transfer to this instance: it proposes the change of the
// map, or aborts the transfer after a timeout.
func (sh *shardState) advanceImport(now float64) {
	in := &sh.incoming
	switch {
	case in.transfer == nil:
	case in.transfer.Staged():
		sh.proposeImport(now)
	case now > in.activeAt+2*sh.router.Timing.TransferTimeout:
		if aborted := in.transfer.Abort("no response from the old owner"); aborted != nil {
			sh.router.send(in.from, *aborted)
		}
		in.transfer = nil
	}
}

// proposeImport proposes the change of the map, and repeats the proposal and the
// last acknowledgement until the change takes effect.
func (sh *shardState) proposeImport(now float64) {
	in := &sh.incoming
	r := sh.router
	change, ok := in.transfer.Propose(r.Name)
	if !ok {
		in.transfer = nil
		return
	}
	sh.propose(now, change)
	if now >= in.resendAt {
		in.resendAt = now + r.Timing.RetryInterval
		r.send(in.from, in.ack)
	}
}

// importTransfer returns the transfer to this instance, and creates it if there is
// none.
func (sh *shardState) importTransfer() *shard.ImportTransfer {
	in := &sh.incoming
	if in.transfer == nil {
		in.transfer = shard.NewImportTransfer(sh.number, sh.router.incarnation, sh.router.Limits.MaxJobs)
		in.ack = shard.ChunkAck{}
	}
	in.transfer.ObserveEpoch(sh.jobLog.Epoch())
	return in.transfer
}

func (sh *shardState) receiveChunk(now float64, sender string, chunk shard.Chunk) {
	ack, aborted, err := sh.importTransfer().AddChunk(now, chunk)
	sh.confirmAbort(sender, aborted)
	if err != nil {
		sh.router.counters.add(countChunksRejected, 1)
		return
	}
	sh.incoming.ack = ack
	sh.incoming.from = sender
	sh.incoming.activeAt = now
	sh.router.send(sender, ack)
}

// receiveAbort aborts a transfer to this instance, even if none of its chunks has
// arrived yet, so that chunks that arrive later are not staged.
func (sh *shardState) receiveAbort(now float64, sender string, abort shard.Abort) {
	transfer := sh.importTransfer()
	sh.incoming.from = sender
	sh.incoming.activeAt = now
	aborted, _ := transfer.HandleAbort(abort)
	sh.confirmAbort(sender, aborted)
}

func (sh *shardState) confirmAbort(to string, aborted *shard.Aborted) {
	if aborted != nil {
		sh.router.counters.add(countTransfersAborted, 1)
		sh.router.send(to, *aborted)
	}
}

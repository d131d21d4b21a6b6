/** Reservations of ends: they count before the upstream has ended, and are withdrawn if it does not end. */
import * as limitCrashes from '@eelgrasswind/limit-crashes'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as crashReports from './crash-reports.js'

/** Dependencies of `ReservedEnds`. */
export interface ReservedEndPorts {
  readonly timers: timerService.TimerService
  readonly records: limitCrashes.CrashRecords
  readonly reporter: Pick<crashReports.CrashReporter, 'announce'>
  /** Applies what a peer has counted. */
  readonly mergeCount: (count: limitCrashes.CrashCount) => void
}

/** An end that this process has reserved. */
export interface ReservedEnd {
  readonly reservation: limitCrashes.Reservation
  /** The processes that were told. */
  readonly receivers: readonly string[]
  /** Resolves once they have answered, or the time is up. */
  readonly announced: Promise<void>
}

/** Reserves ends at this process and others. */
export class ReservedEnds {
  constructor (private readonly ports: ReservedEndPorts) {}

  /** Counts an end here and tells the receivers, which may know of ends that this process does not. `isRelayed`: they are to tell others, too. */
  reserve (reservation: limitCrashes.Reservation, isExclusive: boolean, receivers: readonly string[], isRelayed: boolean): ReservedEnd {
    const { records, reporter, mergeCount } = this.ports
    const now = this.ports.timers.monotonic()
    records.reserve(reservation, now, isExclusive)
    const count = records.get(reservation.request, now)
    const announced = reporter.announce(receivers, { counts: count === undefined ? [] : [count] }, isRelayed).then((counts) => {
      for (const other of counts) if (other.request === reservation.request) mergeCount(limitCrashes.omitReservedEnds(other))
    })
    return { reservation, receivers, announced }
  }

  /** Takes an end back. Resolves once those that were told of it have answered, or the time is up. */
  async withdraw ({ reservation, receivers, announced }: ReservedEnd, isRelayed: boolean): Promise<void> {
    this.ports.records.withdraw(reservation, this.ports.timers.monotonic())
    // A withdrawal that overtook the announcement would have no effect.
    await announced
    await this.ports.reporter.announce(receivers, { withdrawn: [reservation] }, isRelayed)
  }
}

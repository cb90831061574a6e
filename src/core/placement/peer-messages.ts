/** Messages between VMs about reservations. */
import {type Reservation, type ReservationAnswer} from './reservation.js';

/** Messages between VMs about reservations. */
export type PeerMessage =
	/** Requests a reservation from the owner of a target. */
	| {readonly kind: 'request'; readonly wish: Reservation}
	/** Grants or declines a reservation; `id` is the grant id. */
	| {readonly kind: 'answer'; readonly id: string; readonly answer: ReservationAnswer}
	/** Reports the first token or the end of a granted request to the owner. */
	| {readonly kind: 'progress'; readonly id: string; readonly target: string; readonly hasEnded: boolean; readonly workPercent?: number};

/** A message with the VM that it is sent to. */
export type OutgoingMessage = {readonly vm: string; readonly message: PeerMessage};

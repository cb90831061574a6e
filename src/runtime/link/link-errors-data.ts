/** Errors of the links between VMs. */
import {type ErrorData} from '../../core/errors/types.js';

export const LinkVersionMismatch = {
	name: 'LinkVersionMismatch',
	title: 'The peer speaks another version of the control protocol.',
	message: ({vm, theirs, ours}) => `VM ${vm} speaks control protocol ${theirs}, this VM speaks ${ours}.`,
	hint: 'Finish the rollout: all VMs of a fleet need releases that share a protocol version.',
} as const satisfies ErrorData;

export const LinkFrameInvalid = {
	name: 'LinkFrameInvalid',
	title: 'The peer sent a frame that breaks the control protocol.',
	message: ({vm, fault}) => `VM ${vm} sent an invalid frame: ${fault}.`,
	hint: 'Check what listens at the control address of that VM.',
} as const satisfies ErrorData;

export const LinkIdentityMismatch = {
	name: 'LinkIdentityMismatch',
	title: 'The peer is not the VM that it claims to be.',
	message: ({vm, expected}) => `The peer calls itself VM ${vm}, expected ${expected}.`,
	hint: 'Check the control address in the VM list and the VM\'s certificate.',
} as const satisfies ErrorData;

export const LinkIdle = {
	name: 'LinkIdle',
	title: 'The peer sent no frame within the idle timeout.',
	message: ({vm, idleMs}) => `No frame from VM ${vm} for ${idleMs} ms.`,
	hint: 'The VM is down, paused or partitioned from this VM; the link is dialled again.',
} as const satisfies ErrorData;

export const LinkOverrun = {
	name: 'LinkOverrun',
	title: 'The peer reads too slowly.',
	message: ({vm, pending}) => `VM ${vm} left ${pending} claims unread.`,
	hint: 'The VM is overloaded or its network is slow; the link is dialled again.',
} as const satisfies ErrorData;

export const LinkReplaced = {
	name: 'LinkReplaced',
	title: 'Another stream with the same peer is in use.',
	message: ({vm}) => `Another stream with VM ${vm} is in use.`,
	hint: 'No action is needed: of two streams between the same two VMs one is closed.',
} as const satisfies ErrorData;

export const LinkClosed = {
	name: 'LinkClosed',
	title: 'The link ended.',
	message: ({vm, reason}) => `The link with VM ${vm} ended: ${reason}.`,
	hint: 'The link is dialled again while the VM list names the VM.',
} as const satisfies ErrorData;

export const PeerUnreachable = {
	name: 'PeerUnreachable',
	title: 'The peer did not reply.',
	message: ({vm, reason}) => `VM ${vm} did not reply: ${reason}.`,
	hint: 'The response lacks the rows of this VM; repeat the query when it is linked.',
} as const satisfies ErrorData;

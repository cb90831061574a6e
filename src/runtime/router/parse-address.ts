/** Splits an `IP:PORT` whose form the settings have checked; removes the brackets of an IPv6 address. */
export const parseAddress = (address: string): {readonly host: string; readonly port: number} => {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(colon + 1))};
};

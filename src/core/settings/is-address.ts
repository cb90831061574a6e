/** Checks addresses that other processes state. */

const IP_BYTES = 4;
const MAX_IP_BYTE = 255;
const MAX_PORT = 65_535;
const addressPattern = /^(?<ip>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v;

/** Whether a text is an `IP:PORT` that can be connected to. */
export const isAddress = (text: string): boolean => {
	const {ip = '', port = ''} = addressPattern.exec(text)?.groups ?? {};
	const bytes = ip.split('.').map(Number);
	return bytes.length === IP_BYTES && bytes.every(byte => byte <= MAX_IP_BYTE) && Number(port) >= 1 && Number(port) <= MAX_PORT;
};

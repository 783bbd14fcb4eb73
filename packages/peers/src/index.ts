/** Datagrams between nodes: membership messages and load requests. */
export {
  decodeDatagram,
  decodeRecords,
  encodeDatagram,
  encodeRecords,
} from './datagram_codec';
export type {
  Datagram,
  ExchangeDatagram,
  LoadResponse,
  LoadRequest,
} from './datagram';
